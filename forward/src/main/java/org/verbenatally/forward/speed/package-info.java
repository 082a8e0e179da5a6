/**
 * Measured speeds of targets: pooled service-time models of each service, and for each target a factor relative to
 * them, estimated from own observations and the reports of peers. Uses neither the network nor a clock.
 */
package org.verbenatally.forward.speed;
