/** Decides which generations start while engines are scarce. Runs without network and clock. */
package org.verbenatally.forward.admission;
