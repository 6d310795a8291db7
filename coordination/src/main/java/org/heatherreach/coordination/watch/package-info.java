/**
 * Supervision of the watch through which a daemon follows the key-value service, and the retrieval from other daemons of
 * what it could not read there.
 */
package org.heatherreach.coordination.watch;
