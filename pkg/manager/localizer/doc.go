// Package localizer decides whether tasks wait for capacity near their data.
package localizer
