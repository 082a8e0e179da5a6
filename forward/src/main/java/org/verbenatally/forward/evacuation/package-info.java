/** Which failure domains are evacuated, as read from the source of targets or received from other instances. */
package org.verbenatally.forward.evacuation;
