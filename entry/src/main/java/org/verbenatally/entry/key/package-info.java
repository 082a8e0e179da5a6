/** Idempotency keys: non-repeatable calls run at most once, and only the issuing instance decides about a key. */
package org.verbenatally.entry.key;
