/** The callers' HTTP interface: authentication, limits, streams, complete responses and problem documents. */
package org.verbenatally.entry.caller;
