//! What a side admits, seals, buffers and replays.
