/** Load generator and benchmarks: callers of the system, workloads and the measurements taken with them. */
package org.verbenatally.load;
