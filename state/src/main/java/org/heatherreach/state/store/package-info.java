/** Revisions of the key-value service. */
package org.heatherreach.state.store;
