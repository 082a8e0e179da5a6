/** The timer service: periodic and delayed work, and notice of pauses of the process. */
package org.verbenatally.time;
