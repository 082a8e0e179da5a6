/** The checked configuration of a deployment: reading, holding and comparing versions. */
package org.verbenatally.config;
