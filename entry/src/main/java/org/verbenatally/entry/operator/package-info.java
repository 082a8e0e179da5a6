/** What operators see of an entry process: status, explanations, metrics and the start of a graceful shutdown. */
package org.verbenatally.entry.operator;
