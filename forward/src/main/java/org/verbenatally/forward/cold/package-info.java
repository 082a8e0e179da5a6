/** Limits what all instances together send to targets that have just started, without a message for each request. */
package org.verbenatally.forward.cold;
