/** Explains the outcome of a request from the log files of all daemons. */
package org.heatherreach.tools.log;
