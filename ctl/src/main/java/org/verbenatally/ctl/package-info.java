/** Command line tool of the operator; {@link org.verbenatally.ctl.CtlMain} selects the subcommand by name. */
package org.verbenatally.ctl;
