/** The interface of an entry process for operators: status, explanations, metrics and graceful shutdown. */
package org.verbenatally.entry.operator;
