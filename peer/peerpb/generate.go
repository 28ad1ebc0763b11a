// Package peerpb contains the protobuf messages exchanged between entry VMs. The
// generated code is committed. `go generate` needs no installed protoc: buf, which
// protobuf.mod declares, compiles the definitions.
package peerpb

//go:generate sh -c "go build -o ../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && go tool -modfile=../../protobuf.mod buf generate"
