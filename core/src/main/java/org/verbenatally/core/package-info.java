/** Value types and errors that all modules share. */
package org.verbenatally.core;
