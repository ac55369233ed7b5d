/** The questionnaire: the committed examples match the committed answers, and invalid answers are refused. */
import { readFileSync, readdirSync } from "node:fs";
import { join } from "node:path";
import { describe, expect, test } from "vitest";
import { configurationSchema } from "../src/configuration";
import { type AnswersInput, answersSchema, generateFiles } from "../src/questionnaire";
import { checkValue, loadSettings, loadToml } from "../src/settings";

const examples = [
  { folder: "examples/lianyu", daemons: 12, servers: 38 },
  { folder: "examples/gelderland", daemons: 12, servers: 41 },
];

const answers: AnswersInput = {
  cluster: "c",
  platform: "http://10.0.0.1:1",
  data_centres: [{ name: "north", entry_vms: ["10.0.0.2"] }],
  services: [{ name: "desk", divided_by_key: true }],
  servers: [{ service: "desk", data_centre: "north", hosts: ["10.0.0.3"], port: 80, slots: 2, fenced: true }],
};

describe.each(examples)("$folder", ({ folder, daemons, servers }) => {
  const source = join(folder, "answers.toml");

  test("the generated files are equal to the committed ones", () => {
    for (const { path, content } of generateFiles(loadToml(source, answersSchema), source)) {
      expect(content, path).toBe(readFileSync(join(folder, path), "utf8"));
    }
  });

  test("all files are valid, with the expected numbers of daemons and servers", () => {
    const files = readdirSync(join(folder, "daemons"));
    expect(files).toHaveLength(daemons);
    for (const file of files) {
      expect(loadSettings(join(folder, "daemons", file)).seeds.length).toBeGreaterThan(1);
    }
    const configuration = loadToml(join(folder, "configuration.toml"), configurationSchema);
    expect(Object.keys(configuration.servers)).toHaveLength(servers);
  });
});

describe("invalid answers are refused", () => {
  const [server] = answers.servers;
  const invalidAnswers: readonly (readonly [string, unknown, string])[] = [
    ["unknown service", { ...answers, servers: [{ ...server, service: "x" }] }, 'unknown service "x"'],
    ["same address twice", { ...answers, servers: [server, server] }, "10.0.0.3:80 is named twice"],
    ["no entry VM", { ...answers, data_centres: [{ name: "north", entry_vms: [] }] }, "entry_vms"],
    ["unknown field", { ...answers, colour: "red" }, "colour"],
  ];

  test.each(invalidAnswers)("%s", (_name, value, message) => {
    expect(() => generateFiles(checkValue("answers", value, answersSchema), "answers")).toThrow(message);
  });
});
