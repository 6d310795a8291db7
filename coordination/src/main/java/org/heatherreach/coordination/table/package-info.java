/** Distribution of the table in the fleet, its freshness, isolation, and a naive implementation for comparison. */
package org.heatherreach.coordination.table;
