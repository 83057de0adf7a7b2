#!/usr/bin/env node
import '../dist/src/daemon/main.js';
