/** Callers of the system for load, experiments and checks, and what is measured with them. */
package org.verbenatally.load;
