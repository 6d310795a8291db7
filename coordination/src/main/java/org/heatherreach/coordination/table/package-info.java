/** Spread of the table over the fleet, freshness of the store and isolation, and the naive counterpart. */
package org.heatherreach.coordination.table;
