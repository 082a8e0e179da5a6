/** The entry process: takes requests from callers and routes them to targets. */
package org.verbenatally.entry;
