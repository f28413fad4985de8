// Package docs holds the project's pages.
package docs
