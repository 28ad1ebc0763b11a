// Command standin runs a test double of the platform or of a backend server.
package main

import "github.com/vanillaarch/vanillaarch/internal/standin/standincmd"

func main() { standincmd.Main() }
