/** Orders to engines: which model, adapters, version and role each is to have, and who tells it. */
package org.verbenatally.order;
