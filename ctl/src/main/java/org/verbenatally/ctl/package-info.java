/** The operator's command: {@link org.verbenatally.ctl.CtlMain} picks a subcommand by its name. */
package org.verbenatally.ctl;
