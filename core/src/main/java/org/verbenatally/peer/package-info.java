/** Links between entry instances: membership, state exchange, forwarding and configuration propagation. */
package org.verbenatally.peer;
