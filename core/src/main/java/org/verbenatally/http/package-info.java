/** What the servers for callers have in common. */
package org.verbenatally.http;
