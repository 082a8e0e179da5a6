/** The timer service: periodic and delayed callbacks, and detection of pauses of the process. */
package org.verbenatally.time;
