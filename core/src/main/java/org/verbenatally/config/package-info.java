/** The configuration of a deployment: reading and validating documents, and holding the one in force. */
package org.verbenatally.config;
