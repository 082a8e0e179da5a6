/** Orders to engines: the models, adapters, versions and role that each must have, and the entry that sends them. */
package org.verbenatally.order;
