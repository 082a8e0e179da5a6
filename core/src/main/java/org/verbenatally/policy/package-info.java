/** Policies for admission, routing, limits and retries, each a functional interface with a small input. */
package org.verbenatally.policy;
