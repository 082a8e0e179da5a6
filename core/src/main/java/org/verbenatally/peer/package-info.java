/** Links between entry instances: membership, state exchange, forwarding and configuration dissemination. */
package org.verbenatally.peer;
