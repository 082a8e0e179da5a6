/**
 * Idempotency keys: a non-idempotent call runs at most once, and only the instance that issued its key, or the
 * successor of that instance, decides about it.
 */
package org.verbenatally.entry.key;
