/** Detection of failing servers, ejection under the floor and readmission. Pure decision logic. */
package org.heatherreach.coordination.health;
