/** Keeps requests from targets that have asked for a pause. */
package org.verbenatally.forward.pause;
