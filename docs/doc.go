// Package docs holds the pages of the project and nothing else; its tests hold
// the pages against the repository.
package docs
