/** What HTTP servers and clients have in common. */
package org.verbenatally.http;
