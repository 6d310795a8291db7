/** Recognition of requests that crash servers. Pure decision logic. */
package org.heatherreach.coordination.poison;
