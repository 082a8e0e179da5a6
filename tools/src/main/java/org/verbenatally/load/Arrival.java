package org.verbenatally.load;

/**
 * A planned request.
 *
 * @param atNanos time at which it is due, in nanoseconds after the start of the run
 * @param kind load model of its kind
 * @param request request to send
 */
record Arrival(long atNanos, KindLoad kind, CallRequest request) {}
