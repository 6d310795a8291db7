/** Routes of hosts and path prefixes to services, with the settings that an operator chose for their requests. */
package org.heatherreach.state.route;
