/** Clients of model engines and plain services. Their answers are untrusted: each is checked and bounded here. */
package org.verbenatally.entry.target;
