// Package docs holds the pages of the project and the list of withdrawn names.
// Its tests hold pages, names, metrics and log messages against the code.
package docs
