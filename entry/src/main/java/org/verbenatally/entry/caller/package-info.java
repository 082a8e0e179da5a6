/** The callers' HTTP interface: authentication, limits, streams, whole answers and problem documents. */
package org.verbenatally.entry.caller;
