package org.verbenatally.load;

/**
 * A planned request.
 *
 * @param atNanos time after the start of the run at which it is due
 * @param kind load of its kind
 * @param request what is sent
 */
record Arrival(long atNanos, KindLoad kind, CallRequest request) {}
