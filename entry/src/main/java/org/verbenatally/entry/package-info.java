/** The entry process, which accepts requests from callers and routes them to targets. */
package org.verbenatally.entry;
