// Package vanillaarch serves generated text of unknown length from a shared
// pool of inference engines. It assembles an entry VM from the other packages. There
// are two kinds of entry VM:
//
//   - A Server implements the product's own completions API and is configured by a
//     file (server*.go).
//   - An Entry serves the routes that an operator configures in the store of a
//     platform (entry*.go).
//
// Both connect to the other entry VMs in a mesh (mesh*.go).
package vanillaarch
