/** Expected work of requests: distributions learned online, the speed of servers, and the work that is left at them. */
package org.heatherreach.coordination.work;
