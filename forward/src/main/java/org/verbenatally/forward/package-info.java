/** Forwards requests unchanged to targets: routing, attempts, delivery and graceful shutdown of one instance. */
package org.verbenatally.forward;
