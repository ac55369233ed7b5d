/** `hemlockbank questionnaire`: generates configuration and settings from answers. */
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { stringify } from "smol-toml";
import { type Answers, answersSchema, askAnswers, generateFiles } from "../../questionnaire";
import { loadToml } from "../../settings";
import { type Command, ExitCode, getTextFlag } from "../command";
import { printLine } from "../output";

const ANSWERS_FILE = "answers.toml";

export const questionnaireCommand: Command = {
  name: "questionnaire",
  arguments: [],
  summary: "Generate the configuration and each daemon's settings from your answers.",
  flags: {
    out: { type: "string", isRequired: true, help: "folder for the generated files" },
    answers: {
      type: "string",
      help: "TOML file with answers; without it, the questions are asked at the terminal",
    },
  },
  run: async (_input, flags) => {
    const out = getTextFlag(flags, "out");
    const file = getTextFlag(flags, "answers");
    const answers = file === "" ? await askAndSaveAnswers(out) : loadToml(file, answersSchema);
    const files = generateFiles(answers, file === "" ? ANSWERS_FILE : file);
    for (const { path, content } of files) {
      writeOutputFile(out, path, content);
    }
    printLine(
      `Wrote ${files.length} files to ${out}. Next: hemlockbank config check ${join(out, "configuration.toml")}`,
    );
    return ExitCode.Success;
  },
};

async function askAndSaveAnswers(out: string): Promise<Answers> {
  const answers = await askAnswers();
  writeOutputFile(out, ANSWERS_FILE, stringify(answers));
  return answers;
}

function writeOutputFile(folder: string, path: string, content: string): void {
  const file = join(folder, path);
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, content);
}
