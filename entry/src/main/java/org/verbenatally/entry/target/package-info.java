/** Clients of model engines and plain services. Responses are untrusted: each is validated and limited in size here. */
package org.verbenatally.entry.target;
