/**
 * Runs instances as real processes between callers and targets that misbehave on their connections, and checks that
 * each caller gets what a target has sent for its request.
 */
package org.verbenatally.rig;
