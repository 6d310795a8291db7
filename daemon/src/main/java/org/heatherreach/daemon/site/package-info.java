/** The daemon of a site, which takes its routing table, servers and peers from the key-value store of the site. */
package org.heatherreach.daemon.site;
