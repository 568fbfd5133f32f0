// Package maintainer plans and runs maintenance waves under availability budgets.
package maintainer
