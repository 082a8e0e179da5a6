/** Chooses the instances that serve requests for one that does not reach the targets. */
package org.verbenatally.forward.relay;
